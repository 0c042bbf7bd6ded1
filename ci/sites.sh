# Functions on the users' sites, for the scripts beside this file.

# Prints the folder of the sites: the bench lies three folders below it.
sites_root() { # bench
    (cd "$(dirname "$1")/../../.." && pwd)
}

# Prints the names of the sites that regression runs play, from the table of accepted figures.
current_sites() {
    awk '$3 == "current" { print $1 }' ci/regression.accepted
}

# Prints only the table of days and the gate, out of all that a score prints.
days_and_gate() {
    awk '$2 ~ /^[0-9]+\/[0-9]+$/ || /^GATE/'
}

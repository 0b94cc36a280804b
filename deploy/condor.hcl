# HTCondor submit files, and jobs' own rules (docs/condor.md). All controllers must be of
# a build that knows them before the first has this turned on: an earlier one would place
# such jobs anywhere. Submissions of many jobs
# cost the fewest writes with the history, which lets jobs share records.
condor = true
history = true

# Attributes of machines that expressions may ask for, beside those that every machine
# has. All controllers should have the same file; the leader's counts.
machines {
  OpSys = "LINUX"
  Arch  = "X86_64"
}

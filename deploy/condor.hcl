# HTCondor submit files, and jobs' own rules (docs/condor.md). Submissions of many jobs
# cost the fewest writes with the history, which lets jobs share records.
condor = true
history = true

# Attributes of machines that expressions may ask for, beside those that every machine
# has. All controllers should have the same file; the leader's counts.
machines {
  OpSys = "LINUX"
  Arch  = "X86_64"
}

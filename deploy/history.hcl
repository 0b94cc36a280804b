# Jobs that are over leave the controllers' memory for the history. All controllers
# must be of a build that knows it before the first has this turned on.
history = true

# Days for which ends are kept; 0: for ever.
history_keep_days = 0

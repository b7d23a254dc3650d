# nothing yet

package cmd

import "flag"

// settingsCommand is what the verbs share that run an instance.
type settingsCommand struct {
	path string // of the settings file
}

// SetFlags implements subcommands.Command.
func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file, JSON with comments")
}

// given reports whether the settings file and nothing else was given; otherwise it
// prints the usage.
func (c *settingsCommand) checkArgs(f *flag.FlagSet) bool {
	if f.NArg() != 0 || c.path == "" {
		f.Usage()
		return false
	}
	return true
}

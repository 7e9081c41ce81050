package cmd

import "flag"

// settingsCommand holds the common flag of the verbs that run an instance.
type settingsCommand struct {
	path string // path of the settings file
}

// SetFlags implements subcommands.Command.
func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file, JSON with comments")
}

// checkArgs reports whether the settings file was given and nothing else. Otherwise it
// prints the usage.
func (c *settingsCommand) checkArgs(f *flag.FlagSet) bool {
	if f.NArg() != 0 || c.path == "" {
		f.Usage()
		return false
	}
	return true
}

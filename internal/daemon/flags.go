package daemon

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/version"
)

// Exit codes of the daemons.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 3
)

// flags are the daemons' command line.
type flags struct {
	file      string
	check     bool
	reference bool
}

func parseFlags(name, description string, args []string) flags {
	var f flags
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = version.Version
	p.String(&f.file, "s", "settings", "settings file (INI)")
	p.Bool(&f.check, "", "check-settings", "check the settings and exit")
	p.Bool(&f.reference, "", "reference", "print all settings with defaults and units, and exit")
	// flaggy ends the process with a usage message when args do not parse.
	_ = p.ParseArgs(args)
	return f
}

// settle handles the flags that end the process; done tells that one did.
func (f flags) settle(table settings.Table, err error) (code int, done bool) {
	switch {
	case f.reference:
		table.Reference(os.Stdout)
		return exitOK, true
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitSettings, true
	case f.check:
		fmt.Println("settings are valid:", f.file)
		return exitOK, true
	}
	return exitOK, false
}

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

// flags are the command-line flags of the daemons.
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
	// flaggy exits with a usage message if args can't be parsed.
	_ = p.ParseArgs(args)
	return f
}

// handleExit handles invalid settings and the flags that make the process exit;
// done reports whether it should exit with code.
func (f flags) handleExit(table settings.Table, err error) (code int, done bool) {
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

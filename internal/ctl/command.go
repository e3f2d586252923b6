// Package ctl holds the commands of cyclamenctl, one file each. Commands
// returns them all; main only calls Main.
package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

// programName is how operators call it.
const programName = "cyclamenctl"

// Streams are a command's input and output.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Command is one command of the tool.
type Command struct {
	Name    string
	Summary string
	// Args names the arguments in the help, such as "FILE...".
	Args string
	// Flags declares the command's flags; nil for none.
	Flags func(*flaggy.Subcommand)
	// Run gets the arguments that are not flags. Its error decides the exit
	// code; see ExitCode.
	Run func(ctx context.Context, streams Streams, args []string) error
}

// Commands returns every command, in the order of the help. Each call makes
// new ones, because a command keeps its flags' values.
func Commands() []*Command {
	return []*Command{
		publishCommand(),
		statusCommand(),
		settledCommand(),
		explainCommand(),
		accountsCommand(),
		dumpCommand(),
		validateCommand(),
		settingsCommand(),
		checkSettingsCommand(),
		certsCommand(),
		versionCommand(),
		helpCommand(),
	}
}

// Main runs the command that args name and returns the exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	err := run(ctx, args, streams)
	if err != nil {
		fmt.Fprintf(streams.Err, "%s: %v\n", programName, err)
	}
	return ExitCode(err)
}

func run(ctx context.Context, args []string, streams Streams) error {
	args, err := replaceBareDash(args)
	if err != nil {
		return err
	}
	commands := Commands()
	p := newParser(commands)
	if err := p.ParseArgs(args); err != nil {
		return &UsageError{Detail: err.Error()}
	}
	for i, sub := range p.Subcommands {
		if !sub.Used {
			continue
		}
		if err := refuseMisplaced(sub, args); err != nil {
			return err
		}
		if err := refuseUnknownFlags(p.Parser, sub, args); err != nil {
			return err
		}
		return p.runOne(ctx, streams, commands[i])
	}
	return p.runNone(streams)
}

// parser holds the flags that every command has.
type parser struct {
	*flaggy.Parser
	help, version bool
}

// newParser declares commands to the flag library. Its help on unexpected
// arguments is off because it has no list of positional arguments: with it off
// they are collected as trailing ones. Its own help and version flags are off
// because it takes an argument "help" or "version" for the flag of that name,
// also where it is the name of a job.
func newParser(commands []*Command) *parser {
	p := &parser{Parser: flaggy.NewParser(programName)}
	p.Description = "Operates a cyclamenwheel deployment."
	p.ShowHelpOnUnexpected = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	p.Bool(&p.help, "h", "help", "Print help and exit.")
	p.Bool(&p.version, "", "version", "Print the version and exit.")
	for _, command := range commands {
		sub := flaggy.NewSubcommand(command.Name)
		sub.Description = strings.TrimSpace(command.Summary + " " + command.Args)
		if command.Flags != nil {
			command.Flags(sub)
		}
		p.AttachSubcommand(sub, 1)
	}
	return p
}

func (p *parser) runOne(ctx context.Context, streams Streams, command *Command) error {
	switch {
	case p.help:
		p.ShowHelp()
		return nil
	case p.version:
		return writeVersion(streams.Out)
	}
	return command.Run(ctx, streams, p.TrailingArguments)
}

// runNone is for a command line that names no known command.
func (p *parser) runNone(streams Streams) error {
	switch {
	case p.help:
		return writeHelp(streams.Out)
	case p.version:
		return writeVersion(streams.Out)
	case len(p.TrailingArguments) > 0:
		return &UsageError{Detail: fmt.Sprintf("unknown command %q; see %s help", p.TrailingArguments[0], programName)}
	}
	return &UsageError{Detail: fmt.Sprintf("no command given; see %s help", programName)}
}

// replaceBareDash gives standard input a name, and refuses what has none: the
// flag library panics on an argument that is empty or only dashes.
func replaceBareDash(args []string) ([]string, error) {
	replaced := make([]string, 0, len(args))
	for _, arg := range args {
		name, _, _ := strings.Cut(arg, "=")
		switch {
		case arg == "-":
			arg = stdinName
		case arg != "--" && strings.Trim(name, "-") == "":
			return nil, &UsageError{Detail: fmt.Sprintf("argument %q has no name", arg)}
		}
		replaced = append(replaced, arg)
	}
	return replaced, nil
}

// refuseMisplaced insists that the command comes first. The flag library takes
// a later argument for the command as well: a misspelt command whose argument
// is the name of another one would run that other one.
func refuseMisplaced(sub *flaggy.Subcommand, args []string) error {
	for _, arg := range args {
		if strings.HasPrefix(arg, "-") {
			continue
		}
		if arg != sub.Name {
			return &UsageError{Detail: fmt.Sprintf("unknown command %q; see %s help", arg, programName)}
		}
		return nil
	}
	return nil
}

// refuseUnknownFlags does what the flag library leaves undone with its help on
// unexpected arguments off: a misspelt flag would be dropped silently.
func refuseUnknownFlags(p *flaggy.Parser, sub *flaggy.Subcommand, args []string) error {
	for _, arg := range args {
		if arg == "--" {
			return nil
		}
		if !strings.HasPrefix(arg, "-") {
			continue
		}
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if !sub.FlagExists(name) && !p.FlagExists(name) {
			return &UsageError{Detail: fmt.Sprintf("unknown flag %s of %s", arg, sub.Name)}
		}
	}
	return nil
}

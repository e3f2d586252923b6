// Package ctl implements cyclamenctl, the operators' command line tool, with
// one file per command. Commands read manifests and settings files, the fleet
// log and the operator ports of processes; publish appends to the log and certs
// writes certificate files. cmd/cyclamenctl calls Main, and the
// tests call Main and Commands.
package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

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
	// Args describes the arguments in the help text, such as "FILE...".
	Args string
	// Flags declares the command's flags; nil for none.
	Flags func(*flaggy.Subcommand)
	// Run receives the arguments that are not flags. ExitCode maps its error to
	// the exit code.
	Run func(ctx context.Context, streams Streams, args []string) error
}

// Commands returns all commands in the order of the help text. Each call
// creates new ones, because a command stores the values of its flags.
func Commands() []*Command {
	return []*Command{
		publishCommand(),
		statusCommand(),
		settledCommand(),
		explainCommand(),
		accountsCommand(),
		loadCommand(),
		dumpCommand(),
		validateCommand(),
		settingsCommand(),
		checkSettingsCommand(),
		certsCommand(),
		versionCommand(),
		helpCommand(),
	}
}

// Main runs the command named in args and returns the exit code.
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
		if err := checkCommandFirst(sub, args); err != nil {
			return err
		}
		if err := checkKnownFlags(p.Parser, sub, args); err != nil {
			return err
		}
		return p.runCommand(ctx, streams, commands[i])
	}
	return p.runWithoutCommand(streams)
}

// parser adds the flags common to all commands to the library's parser.
type parser struct {
	*flaggy.Parser
	help, version bool
}

// newParser registers the commands with the flag library. The library's help on
// unexpected arguments is off, because the library has no lists of positional
// arguments; with it off, they are collected as trailing arguments. The
// library's own help and version flags are off, because it treats an argument
// "help" or "version" as the flag of that name even if it is a job's name.
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

func (p *parser) runCommand(ctx context.Context, streams Streams, command *Command) error {
	switch {
	case p.help:
		p.ShowHelp()
		return nil
	case p.version:
		return writeVersion(streams.Out)
	}
	return command.Run(ctx, streams, p.TrailingArguments)
}

// runWithoutCommand handles a command line that names no known command.
func (p *parser) runWithoutCommand(streams Streams) error {
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

// replaceBareDash replaces "-" by the name of standard input, and rejects
// arguments without a name: the flag library panics on an argument that is
// empty or consists of dashes only.
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

// checkCommandFirst requires the command to be the first argument. The flag
// library accepts it in a later position too, so a misspelt command whose
// argument is the name of another command would run that other command.
func checkCommandFirst(sub *flaggy.Subcommand, args []string) error {
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

// checkKnownFlags rejects unknown flags. With help on unexpected arguments off,
// the flag library silently ignores a misspelt flag.
func checkKnownFlags(p *flaggy.Parser, sub *flaggy.Subcommand, args []string) error {
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

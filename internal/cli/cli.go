// Package cli implements the operators' command: it parses the arguments, calls the operators' API
// of a daemon and prints the answer as a table or as JSON.
package cli

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// Program is the name of the command.
const Program = "celerydeck"

// envPrefix is the prefix of the environment variables of the command.
const envPrefix = "CELERYDECK_CLI_"

// Output formats, the values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Arguments declares the subcommands, flags and environment variables of the command.
type Arguments struct {
	Validate   *validateCmd   `arg:"subcommand:validate" help:"check a configuration without a daemon"`
	Check      *checkCmd      `arg:"subcommand:check" help:"check a configuration of either format for faults and contradictions"`
	Diff       *diffCmd       `arg:"subcommand:diff" help:"show what a configuration would change"`
	Apply      *applyCmd      `arg:"subcommand:apply" help:"submit a configuration and wait until it is in force"`
	Get        *getCmd        `arg:"subcommand:get" help:"print a revision of the configuration"`
	History    *historyCmd    `arg:"subcommand:history" help:"list the newest revisions"`
	Rollback   *rollbackCmd   `arg:"subcommand:rollback" help:"submit the content of an old revision as a new one"`
	Schema     *schemaCmd     `arg:"subcommand:schema" help:"print the JSON Schema of configurations"`
	Status     *statusCmd     `arg:"subcommand:status" help:"show daemons, availability zones and upstreams"`
	Explain    *explainCmd    `arg:"subcommand:explain" help:"tell where a request goes and why, or the state of an upstream"`
	Handover   *handoverCmd   `arg:"subcommand:handover" help:"show what the next operators have to know"`
	Note       *noteCmd       `arg:"subcommand:note" help:"leave a note for the next operators, or list the notes"`
	Drain      *drainCmd      `arg:"subcommand:drain" help:"keep new work from an upstream or a daemon"`
	Top        *topCmd        `arg:"subcommand:top" help:"show the busiest customers and upstreams"`
	Ticket     *ticketCmd     `arg:"subcommand:ticket" help:"get a ticket for a call that must not repeat"`
	Keys       *keysCmd       `arg:"subcommand:keys" help:"make keys of daemons, customers and operators"`
	Completion *completionCmd `arg:"subcommand:completion" help:"print the completion script of a shell"`

	Addr    string        `arg:"--addr,env:CELERYDECK_CLI_ADDR" default:"127.0.0.1:9090" help:"addresses of daemons' operators' API, separated by commas and tried in order"`
	Key     string        `arg:"--,env:CELERYDECK_CLI_KEY" help:"operator key"`
	KeyFile string        `arg:"--key-file,env:CELERYDECK_CLI_KEY_FILE" help:"file with the operator key"`
	CAFile  string        `arg:"--ca-file,env:CELERYDECK_CLI_CA_FILE" help:"PEM file with the authorities of https addresses [default: those of the system]"`
	Timeout time.Duration `arg:"--timeout,env:CELERYDECK_CLI_TIMEOUT" default:"30s" help:"longest time for the whole command"`
	Output  string        `arg:"-o,--output,env:CELERYDECK_CLI_OUTPUT" default:"table" help:"table for people or json for programs"`
	Color   string        `arg:"--color,env:CELERYDECK_CLI_COLOR" default:"auto" help:"auto, always or never; auto colors on terminals only"`
}

// Description returns the text at the top of the help.
func (Arguments) Description() string {
	return "celerydeck shows and changes a deployment of celerydeck."
}

// Epilogue returns the text at the end of the help, a list of the exit codes.
func (Arguments) Epilogue() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, code := range ExitCodes() {
		fmt.Fprintf(&b, "  %d  %s\n", code.Code, code.Meaning)
	}
	return b.String()
}

// Shell holds the standard streams, the environment variables and the clock of a run.
type Shell struct {
	Stdin    io.Reader
	Stdout   io.Writer
	Stderr   io.Writer
	Environ  []string
	Terminal bool // Stdout is a terminal
	Clock    func() time.Time
}

// runner is implemented by every subcommand.
type runner interface {
	run(ctx context.Context, e *env) error
}

// env holds what a subcommand needs to run: the shell, the parsed arguments and a client of the operators' API.
type env struct {
	Shell
	args   *Arguments
	client *admin.Client
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(ctx context.Context, shell Shell, args []string) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: Program, Out: shell.Stderr}, &a)
	if err != nil {
		panic(err) // invalid struct tags in Arguments
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(shell.Stdout, parser.SubcommandNames()...); err != nil {
			return ExitUsage
		}
		return ExitOK
	case err != nil:
		return printUsageError(shell, err)
	case parser.Subcommand() == nil:
		parser.WriteHelp(shell.Stderr)
		return ExitUsage
	}
	if err := a.check(shell.Environ); err != nil {
		return printUsageError(shell, err)
	}
	e := &env{Shell: shell, args: &a}
	if err := e.connect(); err != nil {
		return printUsageError(shell, err)
	}
	defer e.client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return e.finish(selectedCommand(parser).run(ctx, e))
}

// selectedCommand returns the innermost subcommand that the arguments name.
func selectedCommand(parser *arg.Parser) runner {
	command, ok := parser.Subcommand().(runner)
	if !ok {
		return missingSubcommand{parser}
	}
	return command
}

// missingSubcommand runs when the arguments name a group of subcommands, such as "keys", but no subcommand of
// the group. It prints the help of the group.
type missingSubcommand struct{ parser *arg.Parser }

func (n missingSubcommand) run(_ context.Context, e *env) error {
	_ = n.parser.WriteHelpForSubcommand(e.Stderr, n.parser.SubcommandNames()...)
	return usageError("name a subcommand")
}

func printUsageError(shell Shell, err error) int {
	fmt.Fprintf(shell.Stderr, "%s: %v\nTry %s --help.\n", Program, err, Program)
	return ExitUsage
}

// check validates the settings. It also rejects unknown environment variables with the prefix of the command.
// It returns all errors together.
func (a *Arguments) check(environ []string) error {
	var errs []error
	if a.Output != outputTable && a.Output != outputJSON {
		errs = append(errs, fmt.Errorf("--output must be %s or %s", outputTable, outputJSON))
	}
	if !slices.Contains([]string{"auto", "always", "never"}, a.Color) {
		errs = append(errs, errors.New("--color must be auto, always or never"))
	}
	if a.Timeout <= 0 {
		errs = append(errs, errors.New("--timeout must be positive"))
	}
	valid := variables()
	for _, variable := range environ {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !slices.Contains(valid, name) {
			errs = append(errs, fmt.Errorf("%s is no setting of the command", name))
		}
	}
	return errors.Join(errs...)
}

// connect creates the client of the operators' API. It sends no request.
func (e *env) connect() error {
	key := e.args.Key
	if e.args.KeyFile != "" {
		data, err := os.ReadFile(e.args.KeyFile)
		if err != nil {
			return fmt.Errorf("--key-file: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	e.client = admin.NewClient(strings.Split(e.args.Addr, ","), key)
	if e.args.CAFile == "" {
		return nil
	}
	data, err := os.ReadFile(e.args.CAFile)
	if err != nil {
		return fmt.Errorf("--ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return errors.New("--ca-file holds no certificate")
	}
	e.client.TrustOnlyCAs(pool)
	return nil
}

// json reports whether the output format is outputJSON.
func (e *env) json() bool { return e.args.Output == outputJSON }

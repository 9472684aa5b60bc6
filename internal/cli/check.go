package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/celerydeck/celerydeck/internal/configcheck"
)

// checkCmd checks a configuration of either format.
type checkCmd struct {
	File       string  `arg:"positional,required" help:"file with the configuration, - for standard input"`
	Against    string  `arg:"--against" help:"file with the configuration to compare with"`
	InForce    bool    `arg:"--in-force" help:"compare with the revision in force, which a daemon serves; not for the platform's format"`
	JSON       bool    `arg:"--json" help:"as --output json"`
	MemoryMB   int     `arg:"--memory-mb" help:"memory of the smallest VM of a daemon in MB; without it, the body limit is not checked"`
	RetryRatio float64 `arg:"--retry-ratio" default:"0.2" help:"retries of all daemons as a share of the requests"`
	RetryBurst float64 `arg:"--retry-burst" default:"50" help:"retries of all daemons beyond --retry-ratio"`
	Daemons    int     `arg:"--daemons" default:"1" help:"number of daemons that share --retry-burst"`
}

// errInForce is returned for configurations of the users' platform. The report of a daemon there
// has neither accounts nor weights nor the limits of callers.
var errInForce = errors.New("--in-force: the daemons of the platform don't report their whole configuration; compare with a file (--against)")

// run exits with ExitFailed if there are findings of severity error, and with ExitUsage if the
// configuration could not be checked.
func (c *checkCmd) run(ctx context.Context, e *env) error {
	if c.JSON {
		e.args.Output = outputJSON
	}
	if c.MemoryMB < 0 || !(c.RetryRatio >= 0) || !(c.RetryBurst >= 0) || c.Daemons < 1 {
		return usageError("--memory-mb, --retry-ratio and --retry-burst must be 0 or more, --daemons 1 or more")
	}
	if c.Against != "" && c.InForce {
		return usageError("use either --against or --in-force")
	}
	report, err := c.check(ctx, e)
	if err != nil {
		return &codeError{code: ExitUsage, err: fmt.Errorf("could not check: %w", err)}
	}
	if err := e.printReport(report, c.Against != "" || c.InForce); err != nil {
		return err
	}
	if n := report.Errors(); n > 0 {
		return &codeError{code: ExitFailed, err: fmt.Errorf("findings of severity error: %d", n)}
	}
	return nil
}

func (c *checkCmd) check(ctx context.Context, e *env) (*configcheck.Report, error) {
	data, err := e.readFile(c.File)
	if err != nil {
		return nil, err
	}
	report := configcheck.Check(data, configcheck.Options{
		MemoryMB: c.MemoryMB, RetryRatio: c.RetryRatio, RetryBurst: c.RetryBurst, Daemons: c.Daemons,
	})
	var base []byte
	switch {
	case c.Against != "":
		base, err = e.readFile(c.Against)
	case c.InForce && report.Format == configcheck.Platform:
		err = errInForce
	case c.InForce:
		base, err = e.configInForce(ctx)
	default:
		return report, nil
	}
	if err != nil {
		return nil, err
	}
	return report, report.Compare(base)
}

// configInForce reads the configuration in force from a daemon.
func (e *env) configInForce(ctx context.Context) ([]byte, error) {
	current, err := e.client.Config(ctx, 0)
	if err != nil {
		return nil, err
	}
	return current.Config.Canonical()
}

// printReport prints the findings and, if they were asked for, the differences.
func (e *env) printReport(r *configcheck.Report, compare bool) error {
	if e.json() {
		return e.printJSON(r)
	}
	for _, f := range r.Findings {
		color, place := colorYellow, ""
		if f.Severity == configcheck.Error {
			color = colorRed
		}
		if f.Line > 0 {
			place = fmt.Sprintf("line %d: ", f.Line)
		}
		if f.Path != "" {
			place += f.Path + ": "
		}
		fmt.Fprintf(e.Stdout, "%s: %s%s (%s)\n", e.colorize(color, string(f.Severity)), place, f.Text, f.Kind)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(e.Stdout, e.colorize(changeColors[change.Kind], change.String()))
	}
	errs := r.Errors()
	fmt.Fprintf(e.Stdout, "format %s: %d errors, %d warnings", r.Format, errs, len(r.Findings)-errs)
	switch {
	case r.Compared:
		fmt.Fprintf(e.Stdout, ", %d differences", len(r.Changes))
	case compare:
		fmt.Fprint(e.Stdout, "; not compared, as the configuration can't be decoded")
	}
	fmt.Fprintln(e.Stdout)
	return nil
}

var changeColors = map[configcheck.ChangeKind]string{
	configcheck.Added: colorGreen, configcheck.Removed: colorRed, configcheck.Changed: colorYellow,
}

package cli

import (
	"context"
	"fmt"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// validateCmd checks a configuration file.
type validateCmd struct {
	File string `arg:"positional,required" help:"file with the configuration, - for standard input"`
}

// summary counts the objects of a valid configuration.
type summary struct {
	Valid     bool `json:"valid"`
	Ranks     int  `json:"ranks"`
	Customers int  `json:"customers"`
	Operators int  `json:"operators"`
	Services  int  `json:"services"`
	Adapters  int  `json:"adapters"`
	Versions  int  `json:"versions"`
}

// summarize counts the objects of a configuration that is valid.
func summarize(c *deckconfig.Config) summary {
	s := summary{Valid: true, Ranks: len(c.Ranks), Customers: len(c.Customers), Operators: len(c.Operators), Services: len(c.Services)}
	for i := range c.Services {
		s.Adapters += len(c.Services[i].Adapters)
		for j := range c.Services[i].Adapters {
			s.Versions += len(c.Services[i].Adapters[j].Versions)
		}
	}
	return s
}

func (c *validateCmd) run(_ context.Context, e *env) error {
	config, err := e.readConfig(c.File)
	if err != nil {
		return err
	}
	s := summarize(config)
	if e.json() {
		return e.printJSON(s)
	}
	fmt.Fprintf(e.Stdout, "valid: %d ranks, %d customers, %d operators, %d services, %d adapters with %d versions\n",
		s.Ranks, s.Customers, s.Operators, s.Services, s.Adapters, s.Versions)
	return nil
}

// readConfig reads, parses and validates the configuration in a file.
func (e *env) readConfig(name string) (*deckconfig.Config, error) {
	data, err := e.readFile(name)
	if err != nil {
		return nil, &codeError{code: ExitUsage, err: err}
	}
	config, err := deckconfig.Parse(data)
	if err != nil {
		return nil, &codeError{code: ExitInvalid, err: err}
	}
	return config, nil
}

// schemaCmd prints the JSON Schema of configurations.
type schemaCmd struct{}

func (schemaCmd) run(_ context.Context, e *env) error {
	_, err := e.Stdout.Write(deckconfig.Schema)
	return err
}

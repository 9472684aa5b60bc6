package app

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/alexflint/go-scalar"
)

const (
	envPrefix = "CELERYDECK_"
	// envPrefixCommand starts the variables of the operators' command.
	envPrefixCommand = "CELERYDECK_CLI_"
)

// setting is a setting as a flag and as a variable.
type setting struct {
	flag  string
	env   string
	field reflect.Type
}

// settingsOf returns the settings that the fields of a struct declare.
func settingsOf(t reflect.Type) []setting {
	var list []setting
	for field := range t.Fields() {
		s := setting{field: field.Type}
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				s.env = name
			} else if strings.HasPrefix(part, "--") {
				s.flag = part
			}
		}
		list = append(list, s)
	}
	return list
}

// ParseSettings reads the settings from arguments and the environment and checks
// them. The error lists all that is wrong. A flag takes precedence over a variable.
func ParseSettings(args, environ []string) (Settings, error) {
	known := settingsOf(reflect.TypeFor[Settings]())
	fromEnv, errs := environArgs(known, environ)
	kept, bad := splitArgs(known, args)
	errs = append(errs, bad...)
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "celerydeckd", IgnoreEnv: true}, &s)
	if err != nil {
		return s, err
	}
	err = parser.Parse(append(fromEnv, kept...))
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return s, err
	}
	if err != nil {
		return s, errors.Join(append(errs, err)...)
	}
	return s, errors.Join(append(errs, s.Check())...)
}

// environArgs turns variables into arguments. It refuses variables of the daemon
// that it does not know.
func environArgs(known []setting, environ []string) ([]string, []error) {
	var args []string
	var errs []error
	for _, variable := range slices.Sorted(slices.Values(environ)) {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, envPrefix) || strings.HasPrefix(name, envPrefixCommand) {
			continue
		}
		i := slices.IndexFunc(known, func(s setting) bool { return s.env == name })
		if i < 0 {
			errs = append(errs, fmt.Errorf("%s is no setting of the daemon", name))
			continue
		}
		if err := known[i].check(value); err != nil {
			errs = append(errs, fmt.Errorf("%s %w", name, err))
			continue
		}
		args = append(args, known[i].arguments(value)...)
	}
	return args, errs
}

// splitArgs separates the arguments whose values do not parse.
func splitArgs(known []setting, args []string) ([]string, []error) {
	var kept []string
	var errs []error
	for i := 0; i < len(args); i++ {
		name, value, joined := strings.Cut(args[i], "=")
		at := slices.IndexFunc(known, func(s setting) bool { return s.flag == name })
		if at < 0 || known[at].field.Kind() == reflect.Bool || !joined && i+1 == len(args) {
			kept = append(kept, args[i])
			continue
		}
		if !joined {
			i++
			value = args[i]
		}
		if err := known[at].check(value); err != nil {
			errs = append(errs, fmt.Errorf("%s %w", name, err))
			continue
		}
		kept = append(kept, known[at].arguments(value)...)
	}
	return kept, errs
}

// arguments returns the arguments that set a value. The parser takes an empty one
// only as an argument of its own, and one that starts with a dash only joined.
func (s setting) arguments(value string) []string {
	if value == "" {
		return []string{s.flag, value}
	}
	return []string{s.flag + "=" + value}
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration such as 30s"
	case t.Kind() == reflect.Int:
		return "whole number"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return t.String()
}

// check reports whether a value has the type of the setting.
func (s setting) check(value string) error {
	v := reflect.New(s.field).Elem()
	if err := scalar.ParseValue(v, value); err != nil {
		return fmt.Errorf("must be a %s, is %q", typeName(s.field), value)
	}
	return nil
}

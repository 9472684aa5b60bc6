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
	// envPrefixCommand is the prefix of the variables of the command celerydeck, which
	// the daemon ignores.
	envPrefixCommand = "CELERYDECK_CLI_"
)

// setting describes a setting of the daemon: its flag, environment variable and type.
type setting struct {
	flag  string
	env   string
	field reflect.Type
}

// declaredSettings returns the settings that the tags of a struct's fields declare.
func declaredSettings(t reflect.Type) []setting {
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

// ParseSettings parses and checks the settings from arguments and the environment. A
// flag takes precedence over a variable. The error lists every invalid setting.
func ParseSettings(args, environ []string) (Settings, error) {
	declared := declaredSettings(reflect.TypeFor[Settings]())
	fromEnv, errs := environArgs(declared, environ)
	valid, invalid := splitArgs(declared, args)
	errs = append(errs, invalid...)
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "celerydeckd", IgnoreEnv: true}, &s)
	if err != nil {
		return s, err
	}
	err = parser.Parse(append(fromEnv, valid...))
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return s, err
	}
	if err != nil {
		return s, errors.Join(append(errs, err)...)
	}
	return s, errors.Join(append(errs, s.Check())...)
}

// environArgs converts environment variables to arguments. A variable with the daemon's
// prefix that is no setting is an error.
func environArgs(declared []setting, environ []string) ([]string, []error) {
	var args []string
	var errs []error
	for _, variable := range slices.Sorted(slices.Values(environ)) {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, envPrefix) || strings.HasPrefix(name, envPrefixCommand) {
			continue
		}
		i := slices.IndexFunc(declared, func(s setting) bool { return s.env == name })
		if i < 0 {
			errs = append(errs, fmt.Errorf("%s is no setting of the daemon", name))
			continue
		}
		if err := declared[i].check(value); err != nil {
			errs = append(errs, fmt.Errorf("%s %w", name, err))
			continue
		}
		args = append(args, declared[i].arguments(value)...)
	}
	return args, errs
}

// splitArgs returns the arguments whose values parse, and an error for each argument
// whose value does not parse.
func splitArgs(declared []setting, args []string) ([]string, []error) {
	var valid []string
	var errs []error
	for i := 0; i < len(args); i++ {
		name, value, joined := strings.Cut(args[i], "=")
		at := slices.IndexFunc(declared, func(s setting) bool { return s.flag == name })
		if at < 0 || declared[at].field.Kind() == reflect.Bool || !joined && i+1 == len(args) {
			valid = append(valid, args[i])
			continue
		}
		if !joined {
			i++
			value = args[i]
		}
		if err := declared[at].check(value); err != nil {
			errs = append(errs, fmt.Errorf("%s %w", name, err))
			continue
		}
		valid = append(valid, declared[at].arguments(value)...)
	}
	return valid, errs
}

// arguments returns the arguments that set the setting to a value. The parser accepts an
// empty value only as a separate argument, and a value that starts with a dash only
// joined to the flag.
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

// check returns an error if a value does not have the type of the setting.
func (s setting) check(value string) error {
	v := reflect.New(s.field).Elem()
	if err := scalar.ParseValue(v, value); err != nil {
		return fmt.Errorf("must be a %s, is %q", typeName(s.field), value)
	}
	return nil
}

package cli

import (
	"context"
	"fmt"
	"reflect"
	"strings"
)

// completionCmd prints a completion script.
type completionCmd struct {
	Shell string `arg:"positional,required" help:"bash or zsh"`
}

func (c *completionCmd) run(_ context.Context, e *env) error {
	switch c.Shell {
	case "bash":
		fmt.Fprint(e.Stdout, bashCompletion())
	case "zsh":
		fmt.Fprint(e.Stdout, "#compdef "+Program+"\nautoload -U +X bashcompinit && bashcompinit\n"+bashCompletion())
	default:
		return usageError("the shell must be bash or zsh")
	}
	return nil
}

// Command is a subcommand with its flags, as listed by the completion script and the documentation.
type Command struct {
	Name  string // such as "keys daemon"
	Flags []string
}

// Commands lists all subcommands. The first entry has an empty name and holds the flags that all
// subcommands accept.
func Commands() []Command { return commandsOf("", reflect.TypeFor[Arguments]()) }

// commandsOf returns the command that the struct type t declares, followed by its subcommands.
func commandsOf(name string, t reflect.Type) []Command {
	command := Command{Name: name}
	var nested []Command
	for field := range t.Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if subcommand, ok := strings.CutPrefix(part, "subcommand:"); ok {
				nested = append(nested, commandsOf(strings.TrimSpace(name+" "+subcommand), field.Type.Elem())...)
			} else if strings.HasPrefix(part, "-") && part != "--" {
				command.Flags = append(command.Flags, part)
			}
		}
	}
	return append([]Command{command}, nested...)
}

// variables returns the environment variables that the struct tags of Arguments declare.
func variables() []string { return variablesOf(reflect.TypeFor[Arguments]()) }

// Variables returns the names of the environment variables of the command.
func Variables() []string { return variables() }

// variablesOf returns the environment variables in the struct tags of t and of its subcommands.
func variablesOf(t reflect.Type) []string {
	var names []string
	for field := range t.Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				names = append(names, name)
			} else if strings.HasPrefix(part, "subcommand:") {
				names = append(names, variablesOf(field.Type.Elem())...)
			}
		}
	}
	return names
}

// bashCompletion returns a script that completes subcommands, flags and files.
func bashCompletion() string {
	var b strings.Builder
	commands := Commands()
	fmt.Fprintf(&b, "_%s() {\n  local cur=${COMP_WORDS[COMP_CWORD]} path=\"\" words=\"\" w\n", Program)
	b.WriteString("  for w in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n")
	b.WriteString("    case \"$w\" in -*) ;; *) path=\"$path $w\" ;; esac\n  done\n")
	b.WriteString("  path=${path# }\n  case \"$path\" in\n")
	for i := len(commands) - 1; i >= 0; i-- {
		c := commands[i]
		pattern := fmt.Sprintf("%q*", c.Name)
		if c.Name == "" {
			pattern = "*"
		}
		words := append(nextWords(commands, c.Name), c.Flags...)
		fmt.Fprintf(&b, "    %s) words=%q ;;\n", pattern, strings.Join(words, " "))
	}
	fmt.Fprintf(&b, "  esac\n  words=\"$words %s\"\n", strings.Join(commands[0].Flags, " "))
	fmt.Fprintf(&b, "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n}\ncomplete -o default -F _%s %s\n", Program, Program)
	return b.String()
}

// nextWords returns the words that may follow the command with the given name: its direct subcommands.
func nextWords(commands []Command, name string) []string {
	var words []string
	for _, c := range commands {
		rest, ok := strings.CutPrefix(c.Name, name)
		rest = strings.TrimSpace(rest)
		if ok && rest != "" && !strings.Contains(rest, " ") && (name == "" || strings.HasPrefix(c.Name, name+" ")) {
			words = append(words, rest)
		}
	}
	return words
}

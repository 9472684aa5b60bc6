package cli

import (
	"context"
	"fmt"
	"reflect"
	"strings"
)

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

// Command is a subcommand with its flags, for completion and for the docs.
type Command struct {
	Name  string // such as "keys daemon"
	Flags []string
}

// Commands lists all subcommands. The first, without a name, has the flags that
// hold for all.
func Commands() []Command { return commandsOf("", reflect.TypeFor[Arguments]()) }

func commandsOf(name string, t reflect.Type) []Command {
	self := Command{Name: name}
	var nested []Command
	for field := range t.Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if sub, ok := strings.CutPrefix(part, "subcommand:"); ok {
				nested = append(nested, commandsOf(strings.TrimSpace(name+" "+sub), field.Type.Elem())...)
			} else if strings.HasPrefix(part, "-") && part != "--" {
				self.Flags = append(self.Flags, part)
			}
		}
	}
	return append([]Command{self}, nested...)
}

// variables lists the environment variables of the command.
func variables() []string { return variablesOf(reflect.TypeFor[Arguments]()) }

// Variables lists the environment variables of the command.
func Variables() []string { return variables() }

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
		words := append(next(commands, c.Name), c.Flags...)
		fmt.Fprintf(&b, "    %s) words=%q ;;\n", pattern, strings.Join(words, " "))
	}
	fmt.Fprintf(&b, "  esac\n  words=\"$words %s\"\n", strings.Join(commands[0].Flags, " "))
	fmt.Fprintf(&b, "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n}\ncomplete -o default -F _%s %s\n", Program, Program)
	return b.String()
}

// next returns the words that may follow a command.
func next(commands []Command, name string) []string {
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

// Command deckcapacity measures how the costs of a daemon's parts grow with load and
// writes the page with the resulting capacity.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/capacity"
)

const pageMode = 0o644

type settings struct {
	Page string `arg:"--page" help:"file to write the page to; standard output by default"`
}

// Description returns the first line of the help text.
func (settings) Description() string {
	return "deckcapacity works out what the design target costs from slopes measured here."
}

func main() {
	var s settings
	arg.MustParse(&s)
	target := capacity.DesignTarget()
	page := capacity.Page(target, capacity.Measure(target))
	if s.Page == "" {
		fmt.Print(page)
		return
	}
	if err := os.WriteFile(s.Page, []byte(page), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

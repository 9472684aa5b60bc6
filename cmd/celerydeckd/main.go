// Command celerydeckd is the daemon of celerydeck.
package main

import (
	"os"

	"github.com/celerydeck/celerydeck/internal/app"
)

func main() { os.Exit(app.Main(os.Args[1:])) }

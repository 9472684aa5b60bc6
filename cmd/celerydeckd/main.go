// Command celerydeckd runs the daemon of celerydeck. If the environment variable
// CELERYDECK_BOOT names a settings file, it runs on the users' platform.
package main

import (
	"os"

	"github.com/celerydeck/celerydeck/internal/app"
	"github.com/celerydeck/celerydeck/platform"
)

func main() {
	if path := os.Getenv(platform.SettingsEnv); path != "" {
		os.Exit(app.MainOnPlatform(path))
	}
	os.Exit(app.Main(os.Args[1:]))
}

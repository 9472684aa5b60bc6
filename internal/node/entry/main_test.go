package entry_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// worldsPerRound is the number of worlds that a run draws unless -rapid.checks
// says otherwise.
const worldsPerRound = "30"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", worldsPerRound); err != nil {
		panic(err)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

package entry_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// deploymentsPerRound is the number of random deployments that one round of
// TestSessionsKeepTheirPromisesUnderFaults runs, unless the flag -rapid.checks is given.
const deploymentsPerRound = "30"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", deploymentsPerRound); err != nil {
		panic(err)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

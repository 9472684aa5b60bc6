package statelog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/celerydeck/celerydeck/internal/statelog"
)

func TestFloodOfChangesFloodsTheLog(t *testing.T) {
	var lines []string
	limiter := rate.NewLimiter(0, 3)
	logger := statelog.New(limiter, func(_ int, msg string, kv ...any) { lines = append(lines, fmt.Sprint(msg, kv)) })
	for i := range 50 {
		logger.Info("Load failed", "n", i)
	}
	qt.Assert(t, lines, qt.HasLen, 3)
	limiter.SetBurst(1)
	limiter.SetLimit(rate.Inf)
	logger.Info("Load failed", "n", 50)
	qt.Assert(t, lines[3], qt.Equals, "Load failed[n 50 droppedLines 47]")
}

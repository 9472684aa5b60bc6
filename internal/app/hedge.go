package app

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/celerydeck/celerydeck/internal/coordination/hedge"
)

// Environment variables of a daemon on the users' platform.
const (
	envHedgeShare   = "CELERYDECK_HEDGE_SHARE"
	envHedgeMaxFill = "CELERYDECK_HEDGE_MAX_FILL"
)

// defaultHedgeMaxFill leaves a third of the slots to first attempts when a hedge is sent.
const defaultHedgeMaxFill = 0.7

// PlatformVariables returns the environment variables that a daemon on the users' platform reads
// beside that of its settings file.
func PlatformVariables() []string { return []string{envHedgeShare, envHedgeMaxFill} }

// EdgeOptions are the operators' settings of a daemon on the users' platform.
type EdgeOptions struct {
	Hedge hedge.Limits
}

// ParseEdgeOptions reads the options from environment variables. The error lists every invalid one.
func ParseEdgeOptions(getenv func(string) string) (EdgeOptions, error) {
	share, errShare := parseFraction(getenv, envHedgeShare, 0)
	fill, errFill := parseFraction(getenv, envHedgeMaxFill, defaultHedgeMaxFill)
	return EdgeOptions{Hedge: hedge.Limits{Share: share, MaxFill: fill}}, errors.Join(errShare, errFill)
}

// parseFraction returns the value of a variable that holds a number from 0 to 1.
func parseFraction(getenv func(string) string, name string, fallback float64) (float64, error) {
	text := getenv(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= 1) { // neither holds for NaN
		return fallback, fmt.Errorf("%s must be a number from 0 to 1, not %q", name, text)
	}
	return n, nil
}

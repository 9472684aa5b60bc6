package main

import (
	"os"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// playUnframed sends requests with few parts, of which one crashes engines, to engines whose answers have
// neither a length nor chunks.
func playUnframed(w *world) (bool, error) {
	p, machines, err := startParts(w, partEngines, 60*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	p.isUnframed = os.Getenv("FRAMED") == ""
	return playCrashing(p, machines, 2)
}

package main

// cases are the cases by name.
var cases = map[string]func(w *world){
	"extra":    extra,
	"shutdown": shutdown,
	"lapse":    lapse,
	"stale":    stale,
}

// Package admission accounts for the part of an upstream that each class of work
// uses, tells work within its usual part from a flood, and estimates waits.
package admission

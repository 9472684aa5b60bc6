// Package admission tells work within a class's usual rate from a flood, keeps
// count of the part of an upstream that each rank uses, and estimates waits.
package admission

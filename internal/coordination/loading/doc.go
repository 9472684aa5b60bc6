// Package loading decides which adapters an engine holds: it tracks demand,
// chooses what to evict, spaces loads within a budget and backs off failed ones.
package loading

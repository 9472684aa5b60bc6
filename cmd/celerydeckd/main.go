// Command celerydeckd is part of celerydeck.
package main

func main() {}

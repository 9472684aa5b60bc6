// Command celerydeck is part of celerydeck.
package main

func main() {}

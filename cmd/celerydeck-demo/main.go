// Command celerydeck-demo is part of celerydeck.
package main

func main() {}

// Command standin runs stand-ins for the platform, workers and callers.
package main

func main() {}

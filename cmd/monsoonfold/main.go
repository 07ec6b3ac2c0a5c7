// Command monsoonfold runs an entry of the scheduler and the commands of its
// operators.
package main

func main() {}

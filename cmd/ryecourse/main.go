// Command ryecourse is the query tier's only binary.
package main

func main() {}

package main

import (
	"embed"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferrybench/ferryworkload"
)

//go:embed workloads/*.toml
var workloads embed.FS

// readWorkload reads a workload file if name contains a slash or dot, and else the embedded workload of that
// name.
func readWorkload(name string) (*ferryworkload.Workload, error) {
	if strings.ContainsAny(name, "/.") {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, merry.Prepend(err, "read workload")
		}
		return ferryworkload.Decode(name, b)
	}
	b, err := workloads.ReadFile("workloads/" + name + ".toml")
	if err != nil {
		return nil, merry.Prepend(err, "read embedded workload")
	}
	return ferryworkload.Decode(name+".toml", b)
}

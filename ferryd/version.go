package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// release is set by the linker in release builds.
var release = "development"

func version() string {
	commit := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = " " + s.Value
			}
		}
	}
	return fmt.Sprintf("ferryd %s%s %s", release, commit, runtime.Version())
}

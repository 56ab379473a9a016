package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// maxFileBytes is the maximum size of a document file, header line included.
const maxFileBytes = 1 << 20

// headerRE matches the header line that the subcommand get writes before a document.
var headerRE = regexp.MustCompile(`^# ferryctl: service (\S+) generation (\d+) hash (\S+)\n`)

// header returns the header line that the subcommand get writes before a document.
func header(a ferryservice.Accepted) string {
	return fmt.Sprintf("# ferryctl: service %s generation %d hash %s\n", a.Service, a.Generation, a.Hash())
}

// documentFile is a document read from a file.
type documentFile struct {
	source   string
	document ferryservice.Document
	base     ferryid.Generation
	hasBase  bool
}

// readDocument reads a file, or standard input if name is "-", parses the header line and validates the
// document.
func (a *app) readDocument(name string) (documentFile, error) {
	b, err := a.readFile(name)
	if err != nil {
		return documentFile{}, err
	}
	var f documentFile
	if m := headerRE.FindSubmatch(b); m != nil {
		n, err := strconv.ParseUint(string(m[2]), 10, 64)
		if err != nil {
			return documentFile{}, fmt.Errorf("%s: line 1: generation: %w", name, err)
		}
		f.base, f.hasBase = ferryid.Generation(n), true
		// A blank line replaces the header for validation, so that faults have the line numbers of the file.
		f.source = string(b[len(m[0]):])
		b = append([]byte("\n"), f.source...)
	} else {
		f.source = string(b)
	}
	f.document, err = ferryservice.Decode(name, b)
	return f, err
}

func (a *app) readFile(name string) ([]byte, error) {
	r := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		r = file
	}
	b, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxFileBytes {
		return nil, fmt.Errorf("%s: file larger than %d bytes", name, maxFileBytes)
	}
	return b, nil
}

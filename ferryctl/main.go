package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrycert"
	"cactusferry.dev/ferry/ferrydocument"
)

// The exit codes.
const (
	exitDone       = 0
	exitDiffers    = 1
	exitUsage      = 2
	exitLostRace   = 3
	exitUnresolved = 4
	exitRefused    = 5
	exitPartial    = 6
)

const longHelp = `ferryctl changes service documents and shows what the entries do.

Exit codes: 0 done, 1 the texts differ (diff), 2 wrong usage or a faulty document, 3 lost a race, 4 not known whether accepted, 5 refused or no entry answered, 6 some entries did not answer.`

// globalOptions are the flags of every subcommand.
type globalOptions struct {
	Entries     []string `long:"entry" value-name:"URL" env:"FERRYCTL_ENTRY" env-delim:"," default:"http://127.0.0.1:9101" description:"operators' address of an entry; may be given more than once, or as a list with commas, and the first that answers is used"`
	Token       string   `long:"token" value-name:"TOKEN" env:"FERRYCTL_TOKEN" description:"operators' token"`
	Certificate string   `long:"tls-certificate" value-name:"FILE" env:"FERRYCTL_TLS_CERTIFICATE" description:"certificate to show to entries with https addresses, in PEM; needs the next two"`
	Key         string   `long:"tls-key" value-name:"FILE" env:"FERRYCTL_TLS_KEY" description:"its private key"`
	Authorities string   `long:"tls-ca" value-name:"FILE" env:"FERRYCTL_TLS_CA" description:"certificates of the authorities that sign the entries'"`
}

// app is what each subcommand works with.
type app struct {
	globalOptions
	keys *tls.Config
	ctx  context.Context
	in   io.Reader
	out  io.Writer
	err  io.Writer
}

// subcommands are added by the file of each one.
var subcommands []func(*app, *flags.Parser) error

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs one command line and returns its exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, err: errOut}
	p := flags.NewNamedParser("ferryctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operators' command of cactusferry"
	p.LongDescription = longHelp
	if _, err := p.AddGroup("Global Options", "", &a.globalOptions); err != nil {
		return a.fail(err)
	}
	for _, add := range subcommands {
		if err := add(a, p); err != nil {
			return a.fail(err)
		}
	}
	p.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if err := a.loadKeys(); err != nil {
			return err
		}
		return cmd.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	return a.fail(err)
}

// loadKeys reads the files of the flags, if any are given.
func (a *app) loadKeys() error {
	if a.Certificate == "" && a.Key == "" && a.Authorities == "" {
		return nil
	}
	if a.Certificate == "" || a.Key == "" || a.Authorities == "" {
		return errors.New("--tls-certificate, --tls-key and --tls-ca must be given together")
	}
	keys, err := ferrycert.Client(a.Certificate, a.Key, a.Authorities)
	a.keys = keys
	return err
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) int {
	var bad *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &bad) && bad.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, err)
		return exitDone
	}
	fmt.Fprintln(a.err, "ferryctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		own        *exitError
		lost       *ferrydocument.LostRaceError
		unresolved *ferrydocument.UnresolvedError
		refused    *ferryadmin.RefusedError
		silent     *ferryadmin.UnreachableError
	)
	switch {
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &lost):
		return exitLostRace
	case errors.As(err, &unresolved):
		return exitUnresolved
	case errors.As(err, &refused), errors.As(err, &silent):
		return exitRefused
	}
	return exitUsage
}

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

// Exit codes.
const (
	exitSuccess    = 0
	exitDiffers    = 1
	exitUsage      = 2
	exitLostRace   = 3
	exitUnresolved = 4
	exitRefused    = 5
	exitPartial    = 6
)

const longHelp = `ferryctl applies service documents and shows the state of the entries.

Exit codes: 0 success, 1 the texts differ (diff), 2 usage error or invalid document, 3 lost race, 4 outcome not known, 5 refused or no entry answered, 6 some entries did not answer.`

// globalOptions are the flags of every subcommand.
type globalOptions struct {
	Entries     []string `long:"entry" value-name:"URL" env:"FERRYCTL_ENTRY" env-delim:"," default:"http://127.0.0.1:9101" description:"URL of an entry's operator API; may be repeated or separated by commas, the first entry that answers is used"`
	Token       string   `long:"token" value-name:"TOKEN" env:"FERRYCTL_TOKEN" description:"operator token"`
	Certificate string   `long:"tls-certificate" value-name:"FILE" env:"FERRYCTL_TLS_CERTIFICATE" description:"client certificate for entries with https URLs, in PEM; requires --tls-key and --tls-ca"`
	Key         string   `long:"tls-key" value-name:"FILE" env:"FERRYCTL_TLS_KEY" description:"private key of the client certificate, in PEM"`
	Authorities string   `long:"tls-ca" value-name:"FILE" env:"FERRYCTL_TLS_CA" description:"CA certificates for the certificates of entries, in PEM"`
}

// app holds the state shared by the subcommands.
type app struct {
	globalOptions
	tlsConfig *tls.Config
	ctx       context.Context
	in        io.Reader
	out       io.Writer
	err       io.Writer
}

// subcommands holds the functions that register the subcommands; each file adds its own in init.
var subcommands []func(*app, *flags.Parser) error

// exitError is an error with an exit code.
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
	p.ShortDescription = "command-line client of cactusferry's operator API"
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
		if err := a.loadTLSConfig(); err != nil {
			return err
		}
		return cmd.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	return a.fail(err)
}

// loadTLSConfig loads the certificate, key and authorities of the TLS flags, if given.
func (a *app) loadTLSConfig() error {
	if a.Certificate == "" && a.Key == "" && a.Authorities == "" {
		return nil
	}
	if a.Certificate == "" || a.Key == "" || a.Authorities == "" {
		return errors.New("--tls-certificate, --tls-key and --tls-ca must be given together")
	}
	tlsConfig, err := ferrycert.Client(a.Certificate, a.Key, a.Authorities)
	a.tlsConfig = tlsConfig
	return err
}

// fail prints an error, if any, and returns the exit code.
func (a *app) fail(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, err)
		return exitSuccess
	}
	fmt.Fprintln(a.err, "ferryctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		exit        *exitError
		lost        *ferrydocument.LostRaceError
		unresolved  *ferrydocument.UnresolvedError
		refused     *ferryadmin.RefusedError
		unreachable *ferryadmin.UnreachableError
	)
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &lost):
		return exitLostRace
	case errors.As(err, &unresolved):
		return exitUnresolved
	case errors.As(err, &refused), errors.As(err, &unreachable):
		return exitRefused
	}
	return exitUsage
}

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferrytoml"
	"cactusferry.dev/ferryd/ferrynode"
	"cactusferry.dev/ferryd/ferrysettings"
)

const serveHelp = `Runs one entry instance. Settings come from the file, then from environment
variables that start with FERRYD_, then from flags; a later one wins.

SIGTERM stops the instance without cutting off any call; a second one prints
what is still open.

Other commands:

    ferryd check FILE    print every fault of a settings file
    ferryd version       print the version

Examples:

    ferryd --config entry-1.toml
    FERRYD_KEYS_OPERATOR_TOKEN=... ferryd --config entry-1.toml --log.level debug`

const envPrefix = "FERRYD"

// options are the daemon's flags: the settings file and every setting.
type options struct {
	Config   string                 `long:"config" short:"c" env:"CONFIG" description:"settings file in TOML"`
	Settings ferrysettings.Settings `group:"Settings"`
}

func newParser(o *options) *flags.Parser {
	p := flags.NewNamedParser("ferryd", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = serveHelp
	g, err := p.AddGroup("Daemon", "", o)
	if err != nil {
		panic(err)
	}
	g.EnvNamespace = envPrefix
	p.EnvNamespaceDelimiter = "_"
	return p
}

// load reads the settings from the file, then the environment, then the flags.
// Errors in the file and in the merged settings are reported together.
func load(args []string) (ferrysettings.Settings, error) {
	var first options
	if _, err := newParser(&first).ParseArgs(args); err != nil {
		return ferrysettings.Settings{}, err
	}
	o := options{Config: first.Config}
	name, data := "settings", []byte(nil)
	var fileErr error
	if first.Config != "" {
		b, err := os.ReadFile(first.Config)
		if err != nil {
			return ferrysettings.Settings{}, merry.Prepend(err, "read settings")
		}
		name, data = first.Config, b
		o.Settings, fileErr = ferrysettings.Decode(name, data)
	}
	if _, err := newParser(&o).ParseArgs(args); err != nil {
		return ferrysettings.Settings{}, err
	}
	o.Settings.SetDefaults()
	return o.Settings, ferrytoml.Join(fileErr, o.Settings.Validate(name, data))
}

func serve(args []string) int {
	cfg, err := load(args)
	if err != nil {
		return reportError(err)
	}
	log := newLog(cfg.Log)
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	n, err := ferrynode.New(cfg, clockwork.NewRealClock(), log)
	if err == nil {
		err = n.Run(context.Background(), stop)
	}
	if err != nil {
		log.Error().Err(err).Msg("ferryd failed")
		fmt.Fprintln(os.Stderr, "ferryd:", err)
		return exitFailed
	}
	return 0
}

func newLog(cfg ferrysettings.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if cfg.Text {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true})
	}
	return log
}

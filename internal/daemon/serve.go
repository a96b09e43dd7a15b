// Package daemon is the sidecar's process. It builds the sidecar's parts and connects them, applies a configuration that is
// read again, takes over from the process before it and hands over to the one after it, and persists what it has learned.
//
// Serve is the whole of the process and is called by cmd/pinelb; PrintState is for its command "state show". Nothing here is
// pure: it owns the listeners, the process's signals and limits, and the directory of [state].
//
// Order of locks: the table's, the audit agent's, the audit log's, the engine's. No part of it calls back into the table
// while it holds one of the others.
package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/config"
)

const (
	maxLogBurst      = 50 // lines within a logBurstInterval; the log drops what comes beyond
	logBurstInterval = time.Second
)

// newLog returns the sidecar's log, which writes JSON lines.
func newLog(out io.Writer) zerolog.Logger {
	return zerolog.New(out).Level(zerolog.InfoLevel).
		Sample(&zerolog.BurstSampler{Burst: maxLogBurst, Period: logBurstInterval}).With().Timestamp().Logger()
}

// Serve runs the sidecar until SIGTERM or an interrupt, configured by the environment and by the operator's file, whose path
// may be empty. It reads the configuration again at each signal on hups. The error is why the process ended without being
// asked to; it has been logged.
func Serve(operatorFile string, hups <-chan os.Signal) error {
	log := newLog(os.Stderr)
	cfg, operator, err := loadConfig(operatorFile)
	var recorder *accesslog.Recorder
	if err == nil {
		recorder, log = startRecorder(cfg, operator.AccessLog, log)
		log = log.With().Str("name", cfg.Name).Logger()
		err = serve(cfg, operator, recorder, hups, log)
	}
	if err != nil {
		log.Error().Err(err).Msg("pinelb ends")
	}
	if recorder != nil {
		_ = recorder.Close() // where its output blocks, there is nowhere to report that to
	}
	return err
}

// loadConfig reads and checks the platform's configuration and the operator's file.
func loadConfig(operatorFile string) (*config.Config, *config.Operator, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	if err := cfg.Validate(); err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(operatorFile)
	if err != nil {
		return nil, nil, err
	}
	if err := operator.CheckAgainst(cfg); err != nil {
		return nil, nil, err
	}
	if operator.Fleet != nil && operator.Fleet.Numbered {
		cfg.Settings.Name = ""
	}
	return cfg, operator, nil
}

// startRecorder starts the access log, if the operator's file asks for one, and returns the log to be used beside it.
func startRecorder(cfg *config.Config, options *config.AccessLog, log zerolog.Logger) (*accesslog.Recorder, zerolog.Logger) {
	if options == nil {
		return nil, log
	}
	if options.ToStderr() {
		signal.Ignore(syscall.SIGPIPE) // a log without a reader is no reason to end
	}
	recorder := accesslog.New(cfg, options, os.Stderr)
	log = newLog(recorder.Log())
	recorder.Start(log)
	return recorder, log
}

// serve builds a sidecar, opens its listeners and runs it until SIGTERM.
func serve(cfg *config.Config, operator *config.Operator, recorder *accesslog.Recorder, hups <-chan os.Signal, log zerolog.Logger) error {
	s, err := newSidecar(cfg, operator, recorder, log)
	if err != nil {
		return err
	}
	// Before anything listens: from then on the kernel accepts connections, which a default SIGTERM would reset.
	terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := s.listen(); err != nil {
		return err
	}
	if s.controlServer != nil {
		defer s.controlServer.Close() // it answers for as long as the process runs
	}
	return s.run(terminated, hups)
}

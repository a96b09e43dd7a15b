package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	fleetconfig "pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/router"
	fleetsettings "pinelb.example/pinelb/internal/fleet/settings"
)

// statusTimeout bounds a call of "pinelb router status".
const statusTimeout = 2 * time.Second

// runRouter runs "pinelb router ..." and returns the exit status.
func runRouter(args []string, hangups <-chan os.Signal) int {
	status := 0
	root := &cobra.Command{Use: "pinelb", SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(routerCommand(hangups, &status))
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pinelb:", err)
		return exitFaulty
	}
	return status
}

// routerCommand returns the command "router". Its exit status, where there is no error, is written to status.
func routerCommand(hangups <-chan os.Signal, status *int) *cobra.Command {
	command := &cobra.Command{
		Use:   "router",
		Short: "Be a router of a fleet, as the settings file says that PINELB_CONFIG names",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var err error
			*status, err = serveRouter(hangups)
			return err
		},
	}
	command.AddCommand(
		&cobra.Command{
			Use: "check SETTINGS", Short: "Check a settings file; the exit status is 2 where it is faulty", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				_, err := fleetsettings.Load(args[0])
				return err
			},
		},
		&cobra.Command{
			Use: "check-config FILE", Short: "Check an operator's configuration (JSON); the exit status is 2 where it is faulty",
			Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return checkConfiguration(args[0]) },
		},
		&cobra.Command{
			Use: "status ADDRESS", Short: "Show what the router at an internal address holds", Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				return showRouter(command.Context(), args[0], os.Stdout)
			},
		},
	)
	return command
}

// serveRouter runs a router until SIGTERM or SIGINT.
func serveRouter(hangups <-chan os.Signal) (int, error) {
	path := fleetsettings.Path()
	s, err := fleetsettings.Load(path)
	if err != nil {
		return exitFaulty, err
	}
	log := routerLog().With(zap.String("node", s.NodeName))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	router.LimitMemory(s)
	r := router.New(s, log)
	go reloadRouter(ctx, r, path, hangups, log)
	if err := r.Run(ctx); err != nil {
		log.Error("the router ends", zap.Error(err))
		return 1, nil
	}
	return 0, nil
}

// reloadRouter reads the settings file again on SIGHUP, until ctx is done.
func reloadRouter(ctx context.Context, r *router.Router, path string, hangups <-chan os.Signal, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := fleetsettings.Load(path)
		if err != nil {
			log.Warn("the new settings are not taken", zap.Error(err))
			continue
		}
		router.LimitMemory(s)
		r.Reload(s)
	}
}

// routerLog writes lines of JSON to standard error.
func routerLog() *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), zapcore.InfoLevel)
	return zap.New(core)
}

// checkConfiguration checks an operator's configuration as the first one of a fleet.
func checkConfiguration(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	document, err := fleetconfig.ParseDocument(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, err := fleetconfig.NewTable(document, nil); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := fleetconfig.CheckSchema(document, fleetconfig.EmptyDocument()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// showRouter prints the status of the router at an internal address.
func showRouter(ctx context.Context, address string, out io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var status json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return errors.Join(fmt.Errorf("%s is no router", address), err)
	}
	_, err = out.Write(append(status, '\n'))
	return err
}

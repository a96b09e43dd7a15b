package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/settingsserver"
	"pinelb.example/pinelb/internal/settingsstore"
)

// statusPollInterval is the time between two polls of a status that is waited for.
const statusPollInterval = 200 * time.Millisecond

// settingsCommand is the grammar of "pinelb settings ...". The names of the fields are those of the commands and flags.
type settingsCommand struct {
	Publish struct {
		distributorFlags
		File string `arg:"" placeholder:"FILE" help:"The settings: a JSON object, as the file that LB_CONFIG names has it under settings. - is standard input."`
	} `cmd:"" help:"Publish settings of a service."`
	Rollback struct {
		distributorFlags
	} `cmd:"" help:"Publish the settings anew that the service had before the newest ones."`
	Status struct {
		distributorFlags
	} `cmd:"" help:"Say which sidecars have the newest settings of a service in force."`
}

// distributorFlags say which distributors to call, about which service, and how to report the outcome.
type distributorFlags struct {
	At      []string      `required:"" placeholder:"ADDR" help:"Where distributors take operators' calls. To publish, the first that takes it is enough."`
	Service string        `required:"" placeholder:"NAME" help:"The service."`
	Within  time.Duration `default:"2s" help:"How long one is waited for."`
	Wait    time.Duration `placeholder:"6s" help:"Then wait for so long at most until the newest settings are in force at all sidecars, and say how they stand."`
	JSON    bool          `help:"Lines of JSON: one for each sidecar, one for each distributor, and a summary."`
}

// check returns an error for the first invalid flag.
func (d *distributorFlags) check() error {
	for _, at := range d.At {
		if addr, err := netip.ParseAddrPort(at); err != nil || addr.Port() == 0 {
			return fmt.Errorf("--at: must be an address and port, not %q", at)
		}
	}
	if d.Within <= 0 || d.Wait < 0 {
		return fmt.Errorf("--within must be above 0, and --wait not below")
	}
	if keyErr := (settingsstore.KeyError{}); errors.As(settingsstore.CheckName("--service", d.Service), &keyErr) {
		return fmt.Errorf("%s %s", keyErr.Key, keyErr.Reason)
	}
	return nil
}

// runSettings runs a command and returns the exit status.
func runSettings(command string, line *settingsCommand) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := map[string]*distributorFlags{"publish": &line.Publish.distributorFlags, "rollback": &line.Rollback.distributorFlags, "status": &line.Status.distributorFlags}[command]
	err := d.check()
	var contents []byte
	if err == nil && command == "publish" {
		contents, err = readSettings(line.Publish.File)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return exitFaulty
	}
	o := &settingsserver.OperatorClient{Addresses: d.At, Timeout: d.Within}
	switch command {
	case "publish":
		return d.reportPublished(ctx, o, func() (settingsserver.PublishResult, error) { return o.Publish(ctx, d.Service, contents) })
	case "rollback":
		return d.reportPublished(ctx, o, func() (settingsserver.PublishResult, error) { return o.RollBack(ctx, d.Service) })
	}
	return d.reportStatus(ctx, o)
}

// readSettings reads the settings that are to be published.
func readSettings(path string) ([]byte, error) {
	in := io.ReadCloser(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		in = f
	}
	defer func() { _ = in.Close() }()
	const maxBytes = 8 * settingsstore.MaxSettingsBytes // the distributor rejects what is too long
	return io.ReadAll(io.LimitReader(in, maxBytes))
}

// reportPublished reports the outcome of a publish, waits until the settings are in force if that was requested, and returns the
// exit status.
func (d *distributorFlags) reportPublished(ctx context.Context, o *settingsserver.OperatorClient, do func() (settingsserver.PublishResult, error)) int {
	p, err := do()
	switch {
	case errors.Is(err, settingsserver.ErrNoneReached):
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return settingsserver.ExitNoneReached
	case err != nil:
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return exitFaulty
	case !d.JSON:
		fmt.Printf("%s: published as edition %s\n", d.Service, p.Edition)
	}
	if d.Wait == 0 && !d.JSON {
		return 0
	}
	if d.Wait == 0 {
		fmt.Printf("{\"line\":\"published\",\"service\":%q,\"epoch\":%d,\"by\":%q,\"digest\":\"%016x\"}\n", d.Service, p.Epoch, p.By, uint64(p.Digest))
		return 0
	}
	return d.reportStatus(ctx, o)
}

// reportStatus reports the sidecars' states, once all have the newest settings in force or the wait is over, and returns the exit
// status.
func (d *distributorFlags) reportStatus(ctx context.Context, o *settingsserver.OperatorClient) int {
	end := time.Now().Add(d.Wait)
	v := settingsserver.NewView(o.Statuses(ctx, d.Service))
	for v.Exit() != settingsserver.ExitAllInForce && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(statusPollInterval)
		v = settingsserver.NewView(o.Statuses(ctx, d.Service))
	}
	write := v.Table
	if d.JSON {
		write = v.JSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return exitFaulty
	}
	return v.Exit()
}

// runDistributor runs a distributor and returns the exit status.
func runDistributor(path string) int {
	cfg, err := settingsserver.ReadConfig(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb distribute:", err)
		return exitFaulty
	}
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).Sample(&zerolog.BurstSampler{Burst: 50, Period: time.Second}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := settingsserver.Run(ctx, *cfg, log); err != nil {
		log.Error().Err(err).Msg("distributor ends")
		return 1
	}
	return 0
}

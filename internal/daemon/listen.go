package daemon

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/control"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/downstream/thrift"
	"pinelb.example/pinelb/internal/handover"
)

// listen opens the addresses for clients, or takes them over, and the one for operators.
func (s *sidecar) listen() error {
	listener, err := openListener(s.succession.predecessor, s.cfg, s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := s.httpServer.Frontend(listener)
	front.Addr = s.cfg.Listen
	s.fronts = []downstream.Frontend{front}
	if s.thriftProxy != nil {
		if err := s.listenThrift(); err != nil {
			return err
		}
	}
	if predecessor := s.succession.predecessor; predecessor != nil {
		predecessor.CloseUnused() // those of fronts that this process doesn't have
	}
	s.log.Info().Stringer("addr", listener.Addr()).Msg("listening")
	if s.cfg.Control == "" {
		return nil
	}
	return s.listenControl()
}

func (s *sidecar) listenThrift() error {
	options := s.operator.Thrift
	listener, err := openListener(s.succession.predecessor, s.cfg, options.Listen)
	if err != nil {
		return fmt.Errorf("listen: thrift.listen: %w", err)
	}
	s.log.Info().Stringer("addr", listener.Addr()).Msg("listening for Thrift")
	server := thrift.New(options, &s.cfg.Settings, s.side, s.thriftProxy, s.log)
	s.updater.onClassesChanged = append(s.updater.onClassesChanged, server.UpdateClasses)
	front := server.Frontend(listener)
	front.Addr = options.Listen
	s.fronts = append(s.fronts, front)
	return nil
}

// listenControl serves operators' calls, from here on.
func (s *sidecar) listenControl() error {
	listener, err := net.Listen("tcp", s.cfg.Control)
	if err != nil {
		return fmt.Errorf("listen: LB_CONTROL: %w", err)
	}
	s.controlServer = control.New(s.httpServer.AcceptsStreams, s.succession, s.audit.controlAudit(), s.log)
	go func() { _ = s.controlServer.Serve(control.NewListener(listener)) }()
	s.log.Info().Stringer("addr", listener.Addr()).Msg("listening for operators")
	return nil
}

// openListener takes over the predecessor's listener for an address, or opens one. Where operators can call, the address may
// be shared (SO_REUSEPORT) with a process that can't hand it over.
func openListener(predecessor *handover.Predecessor, cfg *config.Config, addr string) (net.Listener, error) {
	if predecessor != nil {
		if l := predecessor.TakeListener(addr); l != nil {
			return l, nil
		}
	}
	var lc net.ListenConfig
	if cfg.Control != "" {
		lc.Control = reusePort
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// reusePort sets SO_REUSEPORT; it is a net.ListenConfig's Control.
func reusePort(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Package distribute decides who is told which settings: what a distributor holds of each service, which of two changes wins,
// who has acknowledged what, and how that is written between the roles. It is pure: times and events in, values out.
package settingsstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/version"
)

// Bounds on what passes between the roles, in bytes but for the wait. They are the same at all of them.
const (
	MaxSettingsBytes    = 64 << 10                            // a service's settings, as JSON
	maxEnvelopeBytes    = 1 << 10                             // what stands beside them in a state
	MaxStateBytes       = MaxSettingsBytes + maxEnvelopeBytes // a state as Encode writes it
	MaxSidecarNameBytes = 256                                 // a sidecar's name
	MaxNameBytes        = 64                                  // a service's name, and a distributor's
	MaxReasonBytes      = 256                                 // why settings were refused
	MaxWait             = 30 * time.Second                    // that a question may wait for news
)

// Path is where services' settings are asked for; the service's name follows it.
const Path = "/settings/"

// KeyError is a message that can't be: Key as its JSON or its query has it.
type KeyError struct{ Key, Reason string }

func (e KeyError) Error() string { return fmt.Sprintf("distribute: %s %s", e.Key, e.Reason) }

// State is what a service's settings are under one edition.
type State struct {
	Service string
	version.Edition
	Digest   version.Digest  // of Settings, byte for byte: it tells contents that were cut or spoilt on their way
	Settings json.RawMessage // an object, as the platform's file has it
}

// NewState is the state of contents, whose digest it takes.
func NewState(service string, e version.Edition, settings json.RawMessage) State {
	return State{service, e, DigestOf(settings), settings}
}

// DigestOf tells contents apart, byte for byte.
func DigestOf(settings []byte) version.Digest {
	return version.Digest(max(1, xxhash.Sum64(settings))) // 0 would be none
}

// wireState is a state as JSON. The digest is a text, so that a fault in it can be told by its key.
type wireState struct {
	Service string `json:"service"`
	version.Edition
	Digest   string          `json:"digest"`
	Settings json.RawMessage `json:"settings"`
}

// Encode writes a state that Check finds no fault with: the answer to a question. Settings stand in it byte for byte.
func Encode(s State) []byte {
	text := make([]byte, 0, len(s.Settings)+maxEnvelopeBytes)
	text = fmt.Appendf(text, `{"service":%q,"epoch":%d,"by":%q,"digest":"%016x","settings":`, s.Service, s.Epoch, s.By, uint64(s.Digest))
	return append(append(text, s.Settings...), '}')
}

// Parse reads a state, strictly: unknown keys are faults, as are contents that are not those of the digest. Errors are of type
// KeyError and name the key; that of a text that is no single JSON object is "JSON".
func Parse(text []byte) (State, error) {
	var w wireState
	if err := decodeStrict(text, MaxStateBytes, &w); err != nil {
		return State{}, err
	}
	return w.state()
}

func (w *wireState) state() (State, error) {
	s := State{Service: w.Service, Edition: w.Edition, Settings: w.Settings}
	if err := s.Digest.UnmarshalText([]byte(w.Digest)); err != nil {
		return State{}, KeyError{"digest", "must have 16 hexadecimal digits"}
	}
	if err := s.Check(); err != nil {
		return State{}, err
	}
	return s, nil
}

// Check returns a KeyError for what can be no state, or nil.
func (s *State) Check() error {
	if err := CheckName("service", s.Service); err != nil {
		return err
	}
	if err := checkEdition("epoch", "by", s.Edition); err != nil {
		return err
	}
	if s.None() {
		return KeyError{"epoch", "is missing"}
	}
	if err := CheckSettings(s.Settings); err != nil {
		return err
	}
	if got := DigestOf(s.Settings); got != s.Digest {
		return KeyError{"digest", fmt.Sprintf("is %016x, that of the settings is %016x: they were changed on their way", uint64(s.Digest), uint64(got))}
	}
	return nil
}

// CheckSettings returns a KeyError for what can be nobody's settings, whatever they say.
func CheckSettings(settings []byte) error {
	switch {
	case len(settings) > MaxSettingsBytes:
		return KeyError{"settings", fmt.Sprintf("has %d bytes, %d at most", len(settings), MaxSettingsBytes)}
	case len(settings) == 0 || settings[0] != '{' || !json.Valid(settings):
		return KeyError{"settings", "must be a JSON object"}
	}
	return nil
}

// CheckName returns a KeyError for what can be no name of a service or a distributor: 1 to 64 of letters, digits, '.', '_' and
// '-', of which the first is a letter or a digit.
func CheckName(key, name string) error {
	if len(name) < 1 || len(name) > MaxNameBytes {
		return KeyError{key, fmt.Sprintf("must have 1 to %d bytes", MaxNameBytes)}
	}
	for i, c := range []byte(name) {
		plain := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !plain && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return KeyError{key, "must be of letters, digits, '.', '_' and '-', and begin with one of the first two"}
		}
	}
	return nil
}

// checkEdition returns a KeyError for what can be no edition; none is one.
func checkEdition(epoch, by string, e version.Edition) error {
	switch {
	case e.None():
		return nil
	case e.Epoch < 1 || e.Epoch > version.EpochMost:
		return KeyError{epoch, fmt.Sprintf("must be from 1 to %d", uint64(version.EpochMost))}
	}
	return CheckName(by, e.By)
}

// decode reads one JSON object of so many bytes at most.
func decodeStrict(text []byte, most int, v any) error {
	if len(text) > most {
		return KeyError{"JSON", fmt.Sprintf("has %d bytes, %d at most", len(text), most)}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return KeyError{strings.ReplaceAll(kind.Field, "Edition.", ""), "is no " + kind.Type.String()}
		}
		if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			if key, err := strconv.Unquote(quoted); err == nil && key != "" {
				return KeyError{key, "is not known"}
			}
		}
		return KeyError{"JSON", err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return KeyError{"JSON", "goes on after its end"}
	}
	return nil
}

// Request is what a sidecar asks a distributor: for the settings of a service that are newer than what it has in force and what
// it has refused. It acknowledges both. The answer is a state as Encode writes it, with status 200; or nothing, with status 204,
// where there was nothing newer after Wait.
type Request struct {
	Service  string
	Since    version.Edition // in force; none: settings that no distributor gave
	Rejected version.Edition // the newest that was not taken; none where a newer one is in force
	Reason   string          // it was not taken; without one, why the last answer could not be used. Target cuts it to MaxReasonBytes bytes
	Wait     time.Duration   // for news, in whole milliseconds; 0: the answer is to come at once
	Name     string          // of the sidecar; "": whoever asks is not to be remembered
}

// NewestSeen is the newest edition that whoever asks has seen: only newer ones are news.
func (q *Request) NewestSeen() version.Edition {
	if q.Rejected.Compare(q.Since) > 0 {
		return q.Rejected
	}
	return q.Since
}

// Target is the question as the target of a GET request.
func (q *Request) Target() string {
	v := url.Values{"since": {strconv.FormatUint(q.Since.Epoch, 10)}, "timeout_ms": {strconv.FormatInt(q.Wait.Milliseconds(), 10)}}
	if !q.Since.None() {
		v.Set("by", q.Since.By)
	}
	if q.Name != "" {
		v.Set("name", q.Name)
	}
	if !q.Rejected.None() {
		v.Set("refused", strconv.FormatUint(q.Rejected.Epoch, 10))
		v.Set("refused_by", q.Rejected.By)
	}
	if q.Reason != "" {
		v.Set("why", truncate(q.Reason, MaxReasonBytes))
	}
	return Path + url.PathEscape(q.Service) + "?" + v.Encode()
}

// cut is the beginning of a text, of whole runes that fit.
func truncate(text string, most int) string {
	text = strings.ToValidUTF8(text, "?")
	for len(text) > most {
		_, size := utf8.DecodeLastRuneInString(text)
		text = text[:len(text)-size]
	}
	return text
}

// ParseRequest reads a question, strictly. Errors are of type KeyError and name the key.
func ParseRequest(u *url.URL) (Request, error) {
	service, ok := strings.CutPrefix(u.Path, Path)
	if !ok {
		return Request{}, KeyError{"path", "must begin with " + Path}
	}
	if err := CheckName("service", service); err != nil {
		return Request{}, err
	}
	q := Request{Service: service}
	f, err := parseFields(u.RawQuery, "since", "by", "refused", "refused_by", "why", "timeout_ms", "name")
	if err != nil {
		return Request{}, err
	}
	if q.Since, err = f.edition("since", "by"); err != nil {
		return Request{}, err
	}
	if q.Rejected, err = f.edition("refused", "refused_by"); err != nil {
		return Request{}, err
	}
	if q.Wait, err = f.wait("timeout_ms"); err != nil {
		return Request{}, err
	}
	if q.Name, err = f.text("name", MaxSidecarNameBytes); err != nil {
		return Request{}, err
	}
	if q.Reason, err = f.text("why", MaxReasonBytes); err != nil {
		return Request{}, err
	}
	return q, nil
}

// fields are a query's, each once.
type queryFields map[string]string

func parseFields(query string, known ...string) (queryFields, error) {
	v, err := url.ParseQuery(query)
	if err != nil {
		return nil, KeyError{"query", "is malformed: " + err.Error()}
	}
	f := queryFields{}
	for _, key := range known {
		if len(v[key]) > 1 {
			return nil, KeyError{key, "stands more than once"}
		}
		f[key] = v.Get(key)
		delete(v, key)
	}
	for key := range v {
		return nil, KeyError{strconv.Quote(truncate(key, MaxNameBytes)), "is not known"}
	}
	return f, nil
}

func (f queryFields) number(key string) (uint64, error) {
	if f[key] == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(f[key], 10, 64)
	if err != nil {
		return 0, KeyError{key, "must be a whole number from 0 on"}
	}
	return n, nil
}

func (f queryFields) edition(epoch, by string) (version.Edition, error) {
	n, err := f.number(epoch)
	if err != nil {
		return version.Edition{}, err
	}
	e := version.Edition{Epoch: n, By: f[by]}
	return e, checkEdition(epoch, by, e)
}

func (f queryFields) wait(key string) (time.Duration, error) {
	n, err := f.number(key)
	if most := uint64(MaxWait.Milliseconds()); err == nil && n > most {
		err = KeyError{key, fmt.Sprintf("must be from 0 to %d", most)}
	}
	return time.Duration(n) * time.Millisecond, err
}

func (f queryFields) text(key string, most int) (string, error) {
	if len(f[key]) > most || !utf8.ValidString(f[key]) {
		return "", KeyError{key, fmt.Sprintf("must be text of %d bytes at most", most)}
	}
	return f[key], nil
}

package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
)

// Validate returns all problems of the entry's settings as one joined error.
func (e Entry) Validate() error {
	return errors.Join(
		e.Process.validate(),
		checkAddress("listen", e.Listen),
		checkAddress("admin", e.Admin),
	)
}

// Validate returns all problems of the agent's settings as one joined error.
func (a Agent) Validate() error {
	return errors.Join(
		a.Process.validate(),
		checkAddress("traffic", a.Traffic),
		checkAddress("health", a.Health),
		checkPresent("backend_server", a.BackendServer),
		checkURL("backend", a.Backend),
		checkKind(a.Kind),
	)
}

func (p Process) validate() error {
	problems := []error{
		checkPresent("id", p.ID),
		checkPresent("data_centre", p.DataCentre),
		checkAddress("control", p.Control),
		checkURL("store", p.Store),
		checkLeaveDelay(p.LeaveDelayMS),
	}
	for _, peer := range p.Peers {
		problems = append(problems, checkAddress("peers", peer))
	}
	if p.TLS.IsSet() {
		problems = append(problems,
			checkPresent("tls.certificate", p.TLS.Certificate),
			checkPresent("tls.key", p.TLS.Key),
			checkPresent("tls.authority", p.TLS.Authority),
		)
	}
	return errors.Join(problems...)
}

func checkPresent(name, value string) error {
	if value == "" {
		return fmt.Errorf("setting %q is missing", name)
	}
	return nil
}

func checkAddress(name, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("setting %q is %q; it must be host:port, for example \"127.0.0.1:9001\"", name, value)
	}
	return nil
}

func checkURL(name, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fmt.Errorf("setting %q is %q; it must be a URL, for example \"http://127.0.0.1:9000\"", name, value)
	}
	return nil
}

func checkKind(kind string) error {
	if kind != KindEngine && kind != KindService {
		return fmt.Errorf("setting \"kind\" is %q; it must be %q or %q", kind, KindEngine, KindService)
	}
	return nil
}

func checkLeaveDelay(milliseconds int) error {
	if milliseconds < 0 {
		return fmt.Errorf("setting \"leave_delay_ms\" is %d; it must not be negative", milliseconds)
	}
	return nil
}

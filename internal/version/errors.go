package version

import "fmt"

// KeyError says what is wrong with an order, and at which key of its JSON.
type KeyError struct{ Key, Reason string }

func (e KeyError) Error() string { return fmt.Sprintf("version: an order's %s: %s", e.Key, e.Reason) }

// StaleOrderError is an order that a later one has overtaken, or that has come too late.
type StaleOrderError struct{ Reason string }

func (e StaleOrderError) Error() string { return "version: the order is old: " + e.Reason }

// WrongSiteError is an order for another site.
type WrongSiteError struct{ Site, Own string }

func (e WrongSiteError) Error() string {
	return fmt.Sprintf("version: the order is for the site %q, this is %q", e.Site, e.Own)
}

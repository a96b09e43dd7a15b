package scalefit

import "fmt"

// MeasurementError says why a measurement can't be fitted.
type MeasurementError struct {
	Position string // file and line
	Key      string
	Problem  string
}

func (e *MeasurementError) Error() string {
	return fmt.Sprintf("scalefit: %s: %s: %s", e.Position, e.Key, e.Problem)
}

// FitError says why a model can't be fitted to measurements that are all right by themselves.
type FitError struct {
	Key     string // of the plan, or of the cost or the predictor
	Problem string
}

func (e *FitError) Error() string { return fmt.Sprintf("scalefit: %s: %s", e.Key, e.Problem) }

// PageError says that a page doesn't have the markers of the plan's tables.
type PageError struct {
	Table   string // that has no place; "" where the page has markers of tables that the plan lacks
	Problem string
}

func (e *PageError) Error() string { return "scalefit: " + e.Problem }

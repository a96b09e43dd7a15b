package config

// InvalidError reports which item of a configuration or change is invalid, and why. The control API returns its text to the
// operator.
type InvalidError struct {
	Item   string // "configuration", "change", the name of a field, or list and name as in "routes checkout"
	Reason string
	Err    error // the cause, which Unwrap returns; nil: none beyond Reason
}

func (e *InvalidError) Error() string {
	text := "config: " + e.Item + " " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *InvalidError) Unwrap() error { return e.Err }

// unreadable returns the error for an item whose JSON can't be decoded.
func unreadable(item string, err error) *InvalidError {
	return &InvalidError{Item: item, Reason: "can't be read", Err: err}
}

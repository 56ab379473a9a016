package ferrystatus

import "fmt"

const (
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether a status is a final one of HTTP (RFC 9110, section 15).
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// Check returns an *InvalidError unless the status that the source answered is a final one.
func Check(status int, source string) error {
	if IsFinal(status) {
		return nil
	}
	return &InvalidError{Status: status, Source: source}
}

// InvalidError reports an answer whose status is not a final one; it says nothing about whether the request ran.
type InvalidError struct {
	// Status is the status as received.
	Status int
	// Source is the address that answered.
	Source string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s answered with status %03d, which is not a final status of HTTP", e.Source, e.Status)
}

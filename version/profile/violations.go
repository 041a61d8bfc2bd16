package profile

import "camphorhead.example/camphorhead/request/outcome"

const (
	nameRule   = "1 to 63 of a-z, 0-9 and -"
	amountRule = "no amount may be negative or above 2^30"

	notNegative = "0 or more"
)

// violations lists the invalid fields of one entry of the configuration.
type violations []*outcome.Error

func (v *violations) add(field, message string) {
	*v = append(*v, outcome.Field(outcome.InvalidField, field, message))
}

// first returns the first violation as an error, nil if there is none.
func first(v []*outcome.Error) error {
	if len(v) == 0 {
		return nil
	}
	return v[0]
}

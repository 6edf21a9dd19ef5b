package sett

import "reflect"

// clone returns a new value of the type that settings points to, for a trial at decoding.
func clone(settings any) any {
	return reflect.New(reflect.TypeOf(settings).Elem()).Interface()
}

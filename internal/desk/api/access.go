package api

import (
	"context"
	"net/http"
)

type operatorKey struct{}

// authenticate lets only known operators pass, at a bounded rate each, and
// bounds the time of what a request causes.
func (s *Service) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o, ok := s.gate.identify(r)
		if !ok {
			if !s.gate.failures.Allow() {
				fail(w, faultRate)
				return
			}
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, faultAccess)
			return
		}
		if !s.gate.allow(o.Name) {
			fail(w, faultRate)
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), operatorKey{}, o), callTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// requireOperator lets only those pass who may change things.
func requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if operatorOf(r).Role != RoleOperator {
			fail(w, faultRole)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operatorOf returns the operator whom authenticate found.
func operatorOf(r *http.Request) Operator {
	o, _ := r.Context().Value(operatorKey{}).(Operator)
	return o
}

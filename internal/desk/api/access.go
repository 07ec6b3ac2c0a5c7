package api

import (
	"context"
	"net/http"
)

type operatorContextKey struct{}

// authenticate rejects requests of unknown operators and those above the rate
// limit of an operator, and sets a deadline for the calls that a request causes.
func (s *Service) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o, ok := s.authenticator.identify(r)
		if !ok {
			if !s.authenticator.failureLimiter.Allow() {
				respondFault(w, faultRate)
				return
			}
			w.Header().Set("WWW-Authenticate", "Bearer")
			respondFault(w, faultAccess)
			return
		}
		if !s.authenticator.allow(o.Name) {
			respondFault(w, faultRate)
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), operatorContextKey{}, o), callTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// requireOperator rejects requests of operators without the role that may make
// changes.
func requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requestOperator(r).Role != RoleOperator {
			respondFault(w, faultRole)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requestOperator returns the operator whom authenticate identified.
func requestOperator(r *http.Request) Operator {
	o, _ := r.Context().Value(operatorContextKey{}).(Operator)
	return o
}

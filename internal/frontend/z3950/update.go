package z3950

import (
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
)

// update handles an extended services request, which has to be a database update of one record.
func (a *association) update(unit *z3950.Node) {
	operation := newOperation(unit)
	request, problem := z3950.ParseUpdate(unit)
	if problem != nil {
		a.fail(operation, diagnostic{problem.Bib1, problem.Details})
		return
	}
	a.start(operation, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.server.Service.Correct(a.caller(), request.Database, request.Action, request.Record, done)
	}, func(outcome gateway.Outcome) {
		if outcome.Kind != gateway.Complete {
			a.fail(operation, diagnosticOf(outcome))
			return
		}
		a.send(z3950.Constructed(z3950.EsResponse,
			operation.reference,
			z3950.Integer(z3950.FieldEsOperationStatus, operationStatusDone)))
	})
}

//! Customer plans: rates, concurrency, priority and allowed searches.

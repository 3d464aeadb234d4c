export * as admission from './admission';
export * as overload from './overload';
export * as returnPlan from './returnPlan';
export * as usualDemand from './usualDemand';
export * as virtualTime from './virtualTime';
export * as waitingOrder from './waitingOrder';

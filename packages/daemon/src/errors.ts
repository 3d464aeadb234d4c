/** Why a daemon can't start. */
export interface StartError {
  kind: 'badSettings' | 'tlsFile' | 'addressInUse' | 'corruptJournal' | 'dataFolder';
  detail: string;
}
